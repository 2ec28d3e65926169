package cli

func bundleCommand(streams Streams) Command {
	return Command{
		Name: "bundle", Short: "Make, sign, check and compare bundles", Data: &group{},
		Subcommands: []Command{
			{Name: "keygen", Short: "Generate a signing key", Long: keygenHelp, Data: &keygenCommand{Streams: streams}},
			{Name: "sign", Short: "Sign off a section or release a bundle", Long: signHelp, Data: &signCommand{Streams: streams}},
			{Name: "verify", Short: "Verify a published bundle's signatures and content", Data: &verifyCommand{Streams: streams}},
			{Name: "check", Short: "Report everything that is wrong in a bundle", Long: checkHelp, Data: &checkCommand{Streams: streams}},
			{Name: "diff", Short: "Compare two bundles field by field", Data: &diffCommand{Streams: streams}},
		},
	}
}
