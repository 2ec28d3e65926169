package controlplane

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// decodeMembers decodes the document with key KeyMembers. It checks that at least one
// instance is listed and that all entries have an id, a zone and an address.
func decodeMembers(data []byte) (membership.Members, error) {
	var members membership.Members
	if err := decodeJSON(KeyMembers, data, &members); err != nil {
		return membership.Members{}, err
	}
	var findings finding.List
	if len(members.Instances) == 0 {
		findings = append(findings, invalidField(KeyMembers, "instances", "no instance listed"))
	}
	for i, instance := range members.Instances {
		if instance.ID == "" || instance.Zone == "" || instance.Address == "" {
			path := fmt.Sprintf("instances[%d]", i)
			findings = append(findings, invalidField(KeyMembers, path, "id, zone or address is missing"))
		}
	}
	for i, server := range members.BackendServers {
		if server.ID == "" || server.Zone == "" || server.Address == "" {
			path := fmt.Sprintf("backend_servers[%d]", i)
			findings = append(findings, invalidField(KeyMembers, path, "id, zone or address is missing"))
		}
	}
	return members, findings.Err()
}

// decodeManifest decodes an index manifest and checks that its team and service are
// those of key.
func decodeManifest(key string, data []byte) (*snapshot.Manifest, error) {
	manifest := &snapshot.Manifest{}
	if err := decodeJSON(key, data, manifest); err != nil {
		return nil, err
	}
	if IndexKey(manifest.Team, manifest.Service) != key {
		detail := fmt.Sprintf("manifest is for team %q and service %q", manifest.Team, manifest.Service)
		return nil, finding.List{invalidField(key, "team", detail)}
	}
	return manifest, nil
}

// decodeJSON decodes data into target. An error is a finding.List with the line and
// column of the fault where JSON decoding states its offset.
func decodeJSON(key string, data []byte, target any) error {
	err := json.Unmarshal(data, target)
	if err == nil {
		return nil
	}
	f := finding.Finding{File: key, Message: err.Error()}
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		f.Line, f.Column = lineAndColumn(data, syntaxError.Offset)
	case errors.As(err, &typeError):
		f.Line, f.Column = lineAndColumn(data, typeError.Offset)
		f.Path = typeError.Field
	}
	return finding.List{f}
}

// lineAndColumn returns the line and column, counted from 1, of the last byte that
// was read when a JSON error occurred. offset is the number of bytes read.
func lineAndColumn(data []byte, offset int64) (line, column int) {
	index := min(max(int(offset)-1, 0), len(data))
	before := data[:index]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = index - bytes.LastIndexByte(before, '\n')
	return line, column
}

// invalidField returns a finding about the field at path of the document of key.
func invalidField(key, path, message string) finding.Finding {
	return finding.Finding{File: key, Path: path, Message: message}
}
