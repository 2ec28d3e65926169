package ticket

// ParseIssuer returns the instance and the incarnation that the token names as
// its issuer. It does not authenticate the token, so the result may only be used
// to route the token to its issuer. The error is an *Error of KindMalformed.
func ParseIssuer(token string) (instanceID, incarnation string, err error) {
	decoded, ok := decode(token)
	if !ok {
		return "", "", &Error{Kind: KindMalformed, EarlierUnknown: true}
	}
	return decoded.claims.instanceID, decoded.claims.incarnation, nil
}
