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

// decodeMembers decodes and checks the document members.
func decodeMembers(data []byte) (membership.Members, error) {
	var members membership.Members
	if err := decodeJSON(KeyMembers, data, &members); err != nil {
		return membership.Members{}, err
	}
	var findings finding.List
	if len(members.Instances) == 0 {
		findings = append(findings, misfit(KeyMembers, "instances", "no instance listed"))
	}
	for i, instance := range members.Instances {
		if instance.ID == "" || instance.Zone == "" || instance.Address == "" {
			path := fmt.Sprintf("instances[%d]", i)
			findings = append(findings, misfit(KeyMembers, path, "id, zone or address is missing"))
		}
	}
	for i, server := range members.BackendServers {
		if server.ID == "" || server.Zone == "" || server.Address == "" {
			path := fmt.Sprintf("backend_servers[%d]", i)
			findings = append(findings, misfit(KeyMembers, path, "id, zone or address is missing"))
		}
	}
	return members, findings.Err()
}

// decodeManifest decodes an index manifest and checks that it belongs to key.
func decodeManifest(key string, data []byte) (*snapshot.Manifest, error) {
	manifest := &snapshot.Manifest{}
	if err := decodeJSON(key, data, manifest); err != nil {
		return nil, err
	}
	if IndexKey(manifest.Team, manifest.Service) != key {
		detail := fmt.Sprintf("manifest is for team %q and service %q", manifest.Team, manifest.Service)
		return nil, finding.List{misfit(key, "team", detail)}
	}
	return manifest, nil
}

// decodeJSON decodes data. An error is a finding.List with the line and column.
func decodeJSON(key string, data []byte, into any) error {
	err := json.Unmarshal(data, into)
	if err == nil {
		return nil
	}
	f := finding.Finding{File: key, Message: err.Error()}
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line, f.Column = place(data, syntax.Offset)
	case errors.As(err, &mismatch):
		f.Line, f.Column = place(data, mismatch.Offset)
		f.Path = mismatch.Field
	}
	return finding.List{f}
}

// place returns the line and column, counted from 1, of a byte offset that
// counts the bytes read so far.
func place(data []byte, offset int64) (line, column int) {
	at := min(max(int(offset)-1, 0), len(data))
	before := data[:at]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = at - bytes.LastIndexByte(before, '\n')
	return line, column
}

func misfit(key, path, message string) finding.Finding {
	return finding.Finding{File: key, Path: path, Message: message}
}
