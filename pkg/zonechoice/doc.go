// Package zonechoice decides which first attempts of an instance leave its availability
// zone. It compares the expected response time in the zone with that in other zones, the
// way there included, and holds for each service the share of requests to send out. It
// reads no clock and sends nothing. The design is in docs/design/leaving-the-zone.md.
package zonechoice
