package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// Layout of a ticket before base64url encoding: version, id, age of the ledger
// in ns when the ticket was issued, digest of the scope, length and bytes of the instance id,
// length and bytes of the incarnation, HMAC-SHA256 of everything before it.
const (
	tokenVersion   = 1
	idBytes        = 16
	issuedAtBytes  = 8
	macBytes       = sha256.Size
	headerBytes    = 1 + idBytes + issuedAtBytes + sha256.Size
	maxNameBytes   = 255
	maxTokenLength = 1024 // characters; longer tokens are not decoded
)

// ticketID identifies a ticket within one ledger.
type ticketID [idBytes]byte

// claims is the content of a ticket.
type claims struct {
	id          ticketID
	issuedAt    time.Duration // since the ledger was created
	scope       [sha256.Size]byte
	instanceID  string
	incarnation string
}

// signedToken is a decoded ticket whose authenticity is not checked yet.
type signedToken struct {
	claims claims
	signed []byte
	mac    []byte
}

func (c claims) encode(key []byte) string {
	raw := make([]byte, 0, headerBytes+2+len(c.instanceID)+len(c.incarnation)+macBytes)
	raw = append(raw, tokenVersion)
	raw = append(raw, c.id[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(c.issuedAt))
	raw = append(raw, c.scope[:]...)
	raw = appendName(raw, c.instanceID)
	raw = appendName(raw, c.incarnation)
	raw = append(raw, authenticate(key, raw)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// decode returns false when the token does not have the form of a ticket.
func decode(token string) (signedToken, bool) {
	if len(token) > maxTokenLength {
		return signedToken{}, false
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) < headerBytes+macBytes || raw[0] != tokenVersion {
		return signedToken{}, false
	}
	signed, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	result := signedToken{signed: signed, mac: mac}
	rest := signed[1:]
	rest = rest[copy(result.claims.id[:], rest):]
	result.claims.issuedAt = time.Duration(binary.BigEndian.Uint64(rest))
	rest = rest[issuedAtBytes:]
	rest = rest[copy(result.claims.scope[:], rest):]
	var instanceOK, incarnationOK bool
	result.claims.instanceID, rest, instanceOK = cutName(rest)
	result.claims.incarnation, rest, incarnationOK = cutName(rest)
	return result, instanceOK && incarnationOK && len(rest) == 0
}

func (t signedToken) isAuthentic(key []byte) bool {
	return hmac.Equal(t.mac, authenticate(key, t.signed))
}

func authenticate(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return mac.Sum(nil)
}

func appendName(raw []byte, name string) []byte {
	raw = append(raw, byte(len(name)))
	return append(raw, name...)
}

func cutName(raw []byte) (name string, rest []byte, ok bool) {
	if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
		return "", nil, false
	}
	end := 1 + int(raw[0])
	return string(raw[1:end]), raw[end:], true
}

// digest hashes the parts with their lengths, so that different lists of parts
// with the same concatenation have different digests.
func digest(parts ...string) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return [sha256.Size]byte(hash.Sum(nil))
}
