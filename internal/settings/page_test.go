package settings_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/settings"
)

func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, settings.Page(), string(page), "run: go run ./cmd/fennelyard page settings > docs/SETTINGS.md")
}
