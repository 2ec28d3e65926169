package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// decodeBody reads the JSON body of a call. Its errors are refusals that give
// the byte offset of the fault.
func decodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return invalidRefusal(http.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds %d bytes", tooLarge.Limit))
	}
	return invalidRefusal(http.StatusBadRequest, fmt.Sprintf("malformed body at byte %d: %s", decoder.InputOffset(), describeJSONError(err)))
}

// describeJSONError rewords an error of encoding/json for callers, since the
// original names Go types.
func describeJSONError(err error) string {
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return fmt.Sprintf("field %q cannot be of type %s", wrongType.Field, wrongType.Value)
	case errors.As(err, &wrongType):
		return "the body cannot be of type " + wrongType.Value
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the body ends too early"
	default:
		return strings.TrimPrefix(err.Error(), "json: ")
	}
}
