package operator

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"fennelyard/internal/schema"
)

// SoftwarePath is the path under which the software of the backend servers is listed.
const SoftwarePath = "/v1/software"

// RegisterSoftware registers the handler for the software of the servers known to this host.
func RegisterSoftware(r *echo.Echo, list func() []*schema.SoftwareView) {
	r.GET(SoftwarePath, func(c echo.Context) error {
		return WriteProto(c, http.StatusOK, &schema.SoftwareList{Software: list()})
	})
}

// Software returns the software of the backend servers, as known to the host.
func (c *Client) Software(ctx context.Context) (*schema.SoftwareList, error) {
	out := &schema.SoftwareList{}
	return out, c.call(ctx, http.MethodGet, SoftwarePath, nil, out)
}
