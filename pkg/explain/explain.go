package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// Explanation states why a request ended as it did, with the log records that show it.
type Explanation struct {
	RequestID string `json:"request_id"`
	Found     bool   `json:"found"`
	Cause     string `json:"cause"` // one sentence
	// Lines start with the records of the instance that received the request from the
	// caller. They are not ordered by time, since the clocks of instances differ.
	Lines []Line `json:"lines"`
	// Crashes lists instances that ended without an orderly stop. It is set only when no
	// log record names the request.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Explain explains a request from the log records that name it.
func Explain(requestID string, lines []Line) Explanation {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return hops(a) - hops(b) })
	e := Explanation{RequestID: requestID, Lines: ordered}
	if len(ordered) == 0 {
		e.Cause = "no line names this request: it did not arrive, its instance ended before it answered, or the log was over its bound (see suppressed_before)"
		return e
	}
	e.Found = true
	e.Cause = causeText(ordered[0])
	return e
}

// hops returns 0 for a record of the instance that received the request from the caller
// and 1 for a record of an instance that gathered parts for it.
func hops(l Line) int {
	if l.text("outcome") != "" {
		return 0
	}
	return 1
}

func causeText(l Line) string {
	if hops(l) > 0 {
		return "only lines of instances that gathered parts are there; the log of the instance that the request arrived at is missing"
	}
	tableText := fmt.Sprintf(" under table version %.0f, confirmed %.0f ms before", l.number("table_version"), l.number("view_age_ms"))
	durationText := fmt.Sprintf(" after %.0f ms", l.number("took_ms"))
	if reason := forward.Reason(l.text("reason")); reason != "" {
		return reasonText(l, reason) + durationText + tableText + runStateText(l) + detailText(l)
	}
	switch l.text("outcome") {
	case "complete":
		return "answered in full" + durationText + tableText
	case "partial":
		return fmt.Sprintf("answered with %.0f of %.0f shards%s%s; missing: %s%s", l.number("parts"), l.number("shards"), durationText, tableText, missingShards(l), attemptsText(l))
	case "late":
		return fmt.Sprintf("answered%s, later than the route's target%s%s%s", durationText, tableText, missingText(l), attemptsText(l))
	case "server_failure":
		return fmt.Sprintf("a backend server's own failure with status %.0f was passed on%s%s%s", l.number("status"), durationText, tableText, attemptsText(l))
	}
	return "ended" + durationText + tableText
}

// reasonTexts describes each reason and, where it applies, whether a rule of the table
// or a shortage caused it.
var reasonTexts = map[forward.Reason]string{
	forward.NoTable:         "refused because this instance had not learned a table yet (shortage)",
	forward.NoRoute:         "refused because no route of the table matches (rule)",
	forward.BodyTooLarge:    "refused because the body exceeds the table's limit (rule)",
	forward.BadRequest:      "refused because the request could not be read",
	forward.NoServer:        "refused because no backend server was usable (shortage)",
	forward.RateLimited:     "refused because the rate limits that backend servers name were used up (shortage)",
	forward.NoCapacity:      "refused because required shards had no capacity in time (shortage)",
	forward.NoMemory:        "refused because requests in progress held as many bytes as this instance allows (shortage)",
	forward.ServersRefused:  "refused because every backend server asked had no room (shortage)",
	forward.TooFewShards:    "failed because fewer shards answered than the route requires (shortage)",
	forward.TimedOut:        "ended at the caller's deadline or the route's timeout",
	forward.AnswerLost:      "failed because a backend server may have run the request and its answer was lost",
	forward.CallerLeft:      "given up because the caller had left",
	forward.ShuttingDown:    "ended because the instance shut down",
	forward.CrashSuspect:    "refused because several backend servers were lost under the same request",
	forward.ViewUnconfirmed: "refused because no route matches and the store did not confirm the table (shortage)",
}

func reasonText(l Line, reason forward.Reason) string {
	sentence, known := reasonTexts[reason]
	if !known {
		return "ended for the reason " + string(reason)
	}
	if service := l.text("service"); service != "" {
		sentence += ", service " + service
	}
	return sentence
}

func runStateText(l Line) string {
	if l.flag("not_run") {
		return "; no backend server has run it"
	}
	return "; a backend server may have run it"
}

func detailText(l Line) string {
	text := attemptsText(l)
	if d := l.text("detail"); d != "" {
		text = "; " + d + text
	}
	return text
}

func missingText(l Line) string {
	if len(l.list("missing")) == 0 {
		return ""
	}
	return "; missing: " + missingShards(l)
}

func missingShards(l Line) string {
	var out []string
	for _, item := range l.list("missing") {
		out = append(out, fmt.Sprint(item))
	}
	return strings.Join(out, ", ")
}

// maxShownAttempts limits the attempts that the cause lists; Lines holds every logged
// attempt.
const maxShownAttempts = 4

// attemptsText lists the attempts that did not contribute to the reply, those of
// missing shards first.
func attemptsText(l Line) string {
	missingServices := map[string]bool{}
	for _, item := range l.list("missing") {
		missingServices[fmt.Sprint(item)] = true
	}
	var first, rest []string
	for _, item := range l.list("troubles") {
		attempt, _ := item.(map[string]any)
		service := fmt.Sprint(attempt["service"])
		text := fmt.Sprintf("%s at %s of %s", attempt["event"], valueOr(attempt["server"], "no server"), service)
		if d, ok := attempt["detail"].(string); ok && d != "" {
			text += " (" + d + ")"
		}
		if missingServices[service] {
			first = append(first, text)
		} else {
			rest = append(rest, text)
		}
	}
	all := append(first, rest...)
	if len(all) == 0 {
		return ""
	}
	return "; attempts: " + strings.Join(all[:min(len(all), maxShownAttempts)], ", ")
}

func valueOr(value any, fallback string) string {
	if s, ok := value.(string); ok && s != "" {
		return s
	}
	return fallback
}
