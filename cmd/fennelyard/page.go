package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"fennelyard/internal/settings"
)

// newPage returns a hidden command that generates pages of docs/.
func newPage() *cobra.Command {
	c := &cobra.Command{Use: "page", Short: "Print a generated page of the documentation", Hidden: true}
	c.AddCommand(&cobra.Command{
		Use: "settings", Short: "Print docs/SETTINGS.md", Args: cobra.NoArgs,
		Example: "  fennelyard page settings > docs/SETTINGS.md",
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), settings.Page())
			return err
		},
	})
	return c
}
