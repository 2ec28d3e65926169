package bundle

// SignOff is a named person's ed25519 signature.
type SignOff struct {
	Person    string
	Signature []byte
}

// addSignOff replaces the person's earlier sign-off or appends a new one.
func addSignOff(list []SignOff, s SignOff) []SignOff {
	for i := range list {
		if list[i].Person == s.Person {
			list[i] = s
			return list
		}
	}
	return append(list, s)
}
