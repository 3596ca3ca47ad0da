package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/control"
	"fennelyard/internal/memory"
	"fennelyard/internal/operator"
	"fennelyard/internal/refusal"
	"fennelyard/internal/schema"
)

const (
	commandTimeout  = 5 * time.Second
	maxCommandBytes = 8 << 20
	planPrefix      = "plan/"
)

func (e *Entry) operatorRoutes() *echo.Echo {
	r := newRoutes()
	r.POST("/v1/intents", e.applyIntent)
	r.GET("/v1/intents", e.listIntents)
	r.GET("/v1/plans/:number", e.showPlan)
	r.POST("/v1/plans/:number/confirm", func(c echo.Context) error { return e.decidePlan(c, true) })
	r.POST("/v1/plans/:number/reject", func(c echo.Context) error { return e.decidePlan(c, false) })
	r.POST("/v1/servers/:name/forget", e.forgetServer)
	r.GET("/v1/status", e.status)
	operator.RegisterSuspects(r, operator.SuspectsConfig{
		List: e.guard.Suspects().List, Release: e.guard.Clear, Log: e.cfg.Log.WithName("quarantine"),
	})
	return r
}

func (e *Entry) applyIntent(c echo.Context) error {
	q := &schema.IntentRequest{}
	if refused := readCommand(c, e.commands, q); refused != nil {
		return writeRefusal(c, "", refused)
	}
	return e.proposeCommand(c, &schema.Command{
		Id: q.GetCommandId(), Operator: q.GetOperator(),
		Body: &schema.Command_ApplyIntent{ApplyIntent: &schema.ApplyIntent{Base: q.GetBaseRevision(), Intent: q.GetIntent()}},
	})
}

func (e *Entry) decidePlan(c echo.Context, confirm bool) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil {
		return writeRefusal(c, "", refusal.New(refusal.BadRequest, "%q is not a plan's number", c.Param("number")))
	}
	q := &schema.DecisionRequest{}
	if refused := readCommand(c, e.commands, q); refused != nil {
		return writeRefusal(c, "", refused)
	}
	return e.proposeCommand(c, &schema.Command{
		Id: q.GetCommandId(), Operator: q.GetOperator(),
		Body: &schema.Command_DecidePlan{DecidePlan: &schema.DecidePlan{Plan: number, Confirm: confirm}},
	})
}

func (e *Entry) forgetServer(c echo.Context) error {
	q := &schema.ForgetRequest{}
	if refused := readCommand(c, e.commands, q); refused != nil {
		return writeRefusal(c, "", refused)
	}
	return e.proposeCommand(c, &schema.Command{
		Id: q.GetCommandId(), Operator: q.GetOperator(),
		Body: &schema.Command_ForgetServer{ForgetServer: &schema.ForgetServer{
			Name: c.Param("name"), Incarnation: q.GetIncarnation(),
		}},
	})
}

type commandRequest interface {
	proto.Message
	GetCommandId() string
	GetOperator() string
}

func readCommand(c echo.Context, bodies *memory.Budget, q commandRequest) *refusal.Refusal {
	share := bodies.NewShare()
	defer share.Release()
	data, ended, err := share.Read(http.MaxBytesReader(c.Response(), c.Request().Body, maxCommandBytes), c.Request().ContentLength, maxCommandBytes+1)
	if err != nil {
		return refusal.New(refusal.BodyTooLarge, "the command has more than %d bytes", maxCommandBytes)
	}
	if !ended {
		return refusal.New(refusal.NoMemory, "the bodies of other requests take all memory of this host").WithRetryAfter(memoryRetryAfter)
	}
	if err := protojson.Unmarshal(data, q); err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	if q.GetCommandId() == "" || q.GetOperator() == "" {
		return refusal.New(refusal.BadRequest, "command-id and operator are needed: they tell a resend from a race")
	}
	return nil
}

func (e *Entry) proposeCommand(c echo.Context, cmd *schema.Command) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), commandTimeout)
	defer cancel()
	result, err := e.cfg.Control.Propose(ctx, cmd)
	if err != nil {
		return writeRefusal(c, "", controlRefusal(err))
	}
	return operator.WriteProto(c, httpStatus(result.GetCode()), &schema.OperatorReply{
		Result: resultName(result.GetCode()), Reason: result.GetReason(),
		Revision: result.GetRevision(), Plan: planView(result.GetPlan()),
	})
}

// controlRefusal returns the refusal of a command that failed at the control group.
// Its outcome states whether the command may have been committed.
func controlRefusal(err error) *refusal.Refusal {
	r := refusal.New(refusal.NoLeader, "%v", err).WithRetryAfter(time.Second)
	if errors.Is(err, control.ErrOutcomeUnknown) {
		return r.WithOutcome(refusal.Unknown)
	}
	return r
}

func httpStatus(code schema.ResultCode) int {
	switch code {
	case schema.ResultCode_RESULT_CODE_OK:
		return http.StatusOK
	case schema.ResultCode_RESULT_CODE_NOT_FOUND:
		return http.StatusNotFound
	case schema.ResultCode_RESULT_CODE_STALE, schema.ResultCode_RESULT_CODE_ID_REUSED:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// resultName returns the name of a result code in replies: id-reused for
// RESULT_CODE_ID_REUSED.
func resultName(code schema.ResultCode) string {
	return enumName(code.String(), "RESULT_CODE_")
}

// enumName converts the name of an enum value to kebab case and removes its prefix.
func enumName(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}

func planView(p *schema.Plan) *schema.PlanView {
	if p == nil {
		return nil
	}
	v := &schema.PlanView{
		Number: p.GetNumber(), State: enumName(p.GetState().String(), "PLAN_STATE_"),
		Intent: p.GetIntent().GetName(), Customer: p.GetIntent().GetCustomer().GetName(),
		GroundRevision: p.GetGround(), Operator: p.GetOperator(),
	}
	for _, l := range p.GetLines() {
		v.Lines = append(v.Lines, &schema.PlanLineView{
			Target: l.GetTarget(), Change: l.GetChange(), MinReplicas: l.GetMinReplicas(),
			MaxReplicas: l.GetMaxReplicas(), MemoryMib: l.GetMemoryMib(),
			ColdStartMs: l.GetColdStartMs(), IdleAcceleratorHoursPerDay: l.GetIdleHoursPerDay(),
		})
	}
	return v
}

func (e *Entry) listIntents(c echo.Context) error {
	reply, err := e.fetch(c, planPrefix)
	if err != nil {
		return writeRefusal(c, "", controlRefusal(err))
	}
	list := &schema.IntentList{
		Revision: reply.GetOperatorRevision(), ConfigRevision: reply.GetConfigRevision(),
		LastOperator: reply.GetLastOperator(), LastCommand: reply.GetLastCommand(),
	}
	for _, rec := range reply.GetRecords() {
		list.Plans = append(list.Plans, planView(rec.GetPlan()))
	}
	return operator.WriteProto(c, http.StatusOK, list)
}

func (e *Entry) showPlan(c echo.Context) error {
	key := planPrefix + c.Param("number")
	reply, err := e.fetch(c, key)
	if err != nil {
		return writeRefusal(c, "", controlRefusal(err))
	}
	for _, rec := range reply.GetRecords() {
		if rec.GetKey() == key {
			return operator.WriteProto(c, http.StatusOK, planView(rec.GetPlan()))
		}
	}
	return writeRefusal(c, "", refusal.New(refusal.UnknownTarget, "plan %q is not known", c.Param("number")))
}

func (e *Entry) fetch(c echo.Context, prefix string) (*schema.FetchReply, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), commandTimeout)
	defer cancel()
	return e.cfg.Control.Fetch(ctx, prefix)
}
