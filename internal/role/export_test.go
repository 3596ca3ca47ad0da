package role

import (
	"context"

	"fennelyard/internal/schema"
)

// RecordDeparture commits a departure as a call does whose caller is gone by
// then: the roster is not told.
func (c *Control) RecordDeparture(id string) error {
	return c.commit(context.Background(), &schema.Command{Body: &schema.Command_DepartServer{
		DepartServer: &schema.DepartServer{Server: id},
	}})
}
