package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// Explanation is what decided a request.
type Explanation struct {
	RequestID string `json:"request_id"`
	Found     bool   `json:"found"`
	Cause     string `json:"cause"` // one sentence
	// Lines are ordered by hops, not by time: the clocks of instances differ. The
	// instance that the request arrived at comes first.
	Lines []Line `json:"lines"`
	// Crashes are instances that ended without a stop; only when nothing was found.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Of explains a request from the lines that name it.
func Of(requestID string, lines []Line) Explanation {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return hop(a) - hop(b) })
	e := Explanation{RequestID: requestID, Lines: ordered}
	if len(ordered) == 0 {
		e.Cause = "no line names this request: it did not arrive, its instance ended before it answered, or the log was over its bound (see suppressed_before)"
		return e
	}
	e.Found = true
	e.Cause = cause(ordered[0])
	return e
}

// hop is 0 for the instance that the request arrived at and 1 for instances that
// gathered parts for it.
func hop(l Line) int {
	if l.text("outcome") != "" {
		return 0
	}
	return 1
}

func cause(l Line) string {
	if hop(l) > 0 {
		return "only lines of instances that gathered parts are there; the log of the instance that the request arrived at is missing"
	}
	under := fmt.Sprintf(" under table version %.0f, confirmed %.0f ms before", l.number("table_version"), l.number("view_age_ms"))
	after := fmt.Sprintf(" after %.0f ms", l.number("took_ms"))
	if reason := forward.Reason(l.text("reason")); reason != "" {
		return refused(l, reason) + after + under + promise(l) + detail(l)
	}
	switch l.text("outcome") {
	case "complete":
		return "answered in full" + after + under
	case "partial":
		return fmt.Sprintf("answered with %.0f of %.0f shards%s%s; missing: %s%s", l.number("parts"), l.number("shards"), after, under, names(l), troubles(l))
	case "late":
		return fmt.Sprintf("answered%s, later than the route's target%s%s%s", after, under, missing(l), troubles(l))
	case "server_failure":
		return fmt.Sprintf("a backend server's own failure with status %.0f was passed on%s%s%s", l.number("status"), after, under, troubles(l))
	}
	return "ended" + after + under
}

// sentences name the rule or the shortage for each reason.
var sentences = map[forward.Reason]string{
	forward.NoTable:         "refused because this instance had not learned a table yet (shortage)",
	forward.NoRoute:         "refused because no route of the table matches (rule)",
	forward.BodyTooLarge:    "refused because the body exceeds the table's limit (rule)",
	forward.BadRequest:      "refused because the request could not be read",
	forward.NoServer:        "refused because no backend server was usable (shortage)",
	forward.ServersRefused:  "refused because every backend server asked had no room (shortage)",
	forward.TooFewShards:    "failed because fewer shards answered than the route requires (shortage)",
	forward.TimedOut:        "ended at the caller's deadline or the route's timeout",
	forward.AnswerLost:      "failed because a backend server may have run the request and its answer was lost",
	forward.CallerLeft:      "given up because the caller had left",
	forward.ViewUnconfirmed: "refused because no route matches and the store did not confirm the table (shortage)",
}

func refused(l Line, reason forward.Reason) string {
	sentence, known := sentences[reason]
	if !known {
		return "ended for the reason " + string(reason)
	}
	if service := l.text("service"); service != "" {
		sentence += ", service " + service
	}
	return sentence
}

func promise(l Line) string {
	if l.flag("not_run") {
		return "; no backend server has run it"
	}
	return "; a backend server may have run it"
}

func detail(l Line) string {
	text := troubles(l)
	if d := l.text("detail"); d != "" {
		text = "; " + d + text
	}
	return text
}

func missing(l Line) string {
	if len(l.list("missing")) == 0 {
		return ""
	}
	return "; missing: " + names(l)
}

func names(l Line) string {
	var out []string
	for _, item := range l.list("missing") {
		out = append(out, fmt.Sprint(item))
	}
	return strings.Join(out, ", ")
}

// shownTroubles bounds the attempts that a sentence tells of; all are in the line.
const shownTroubles = 4

// troubles tells of the attempts that did not help, those of missing shards first.
func troubles(l Line) string {
	lost := map[string]bool{}
	for _, item := range l.list("missing") {
		lost[fmt.Sprint(item)] = true
	}
	var first, rest []string
	for _, item := range l.list("troubles") {
		t, _ := item.(map[string]any)
		service := fmt.Sprint(t["service"])
		text := fmt.Sprintf("%s at %s of %s", t["event"], valueOr(t["server"], "no server"), service)
		if d, ok := t["detail"].(string); ok && d != "" {
			text += " (" + d + ")"
		}
		if lost[service] {
			first = append(first, text)
		} else {
			rest = append(rest, text)
		}
	}
	all := append(first, rest...)
	if len(all) == 0 {
		return ""
	}
	return "; attempts: " + strings.Join(all[:min(len(all), shownTroubles)], ", ")
}

func valueOr(value any, standard string) string {
	if s, ok := value.(string); ok && s != "" {
		return s
	}
	return standard
}
