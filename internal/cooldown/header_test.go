package cooldown_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/cooldown"
)

func TestParseResponse(t *testing.T) {
	now := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	date := func(after time.Duration) string { return now.Add(after).Format(http.TimeFormat) }
	const century = 100 * 365 * 24 * time.Hour
	for name, test := range map[string]struct {
		status     int
		values     []string
		date       string
		wait       time.Duration
		unreadable bool
	}{
		"none":                     {status: 503},
		"seconds":                  {status: 503, values: []string{"3"}, wait: 3 * time.Second},
		"fraction":                 {status: 503, values: []string{" 0.25 "}, wait: 250 * time.Millisecond},
		"zero":                     {status: 503, values: []string{"0"}},
		"too many requests":        {status: 429, values: []string{"2"}, wait: 2 * time.Second},
		"success":                  {status: 200, values: []string{"2"}},
		"redirect":                 {status: 301, values: []string{"2"}},
		"failure of the request":   {status: 500, values: []string{"2"}},
		"date":                     {status: 503, values: []string{date(7 * time.Second)}, wait: 7 * time.Second},
		"past date":                {status: 503, values: []string{date(-time.Hour)}},
		"date by a server's clock": {status: 503, values: []string{date(time.Hour)}, date: date(59 * time.Minute), wait: time.Minute},
		"date far ahead":           {status: 503, values: []string{"Fri, 31 Dec 9999 23:59:59 GMT"}, wait: century},
		"huge":                     {status: 503, values: []string{"99999999999999999999"}, wait: century},
		"beyond a float":           {status: 503, values: []string{"1e999"}, wait: century},
		"negative":                 {status: 503, values: []string{"-1"}, unreadable: true},
		"not a number":             {status: 503, values: []string{"NaN"}, unreadable: true},
		"infinite":                 {status: 503, values: []string{"inf"}, unreadable: true},
		"words":                    {status: 503, values: []string{"soon"}, unreadable: true},
		"empty":                    {status: 503, values: []string{""}, unreadable: true},
		"several":                  {status: 503, values: []string{"1", "4", "2"}, wait: 4 * time.Second},
		"several, one unreadable":  {status: 503, values: []string{"soon", "4"}, wait: 4 * time.Second, unreadable: true},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{"Retry-After": test.values}
			if test.date != "" {
				header.Set("Date", test.date)
			}
			require.Equal(t, cooldown.Statement{Wait: test.wait, Unreadable: test.unreadable}, cooldown.ParseResponse(test.status, header, now))
		})
	}
}
