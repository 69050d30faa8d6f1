package engine

import (
	"fmt"
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/query"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/core/result"
)

// submit admits a request and starts or queues its query, or refuses it as not run.
func (e *Engine) submit(now clock.Instant, req *query.Request, fx *Effects) {
	caller, svc, err := e.admit(req)
	if err == nil {
		err = e.takeToken(now, caller)
	}
	if err != nil {
		e.refuse(req.Key, err.Code, err.Detail, fx)
		return
	}
	plan := e.chooseSnapshot(now, svc, nil)
	if plan == nil {
		e.refuse(req.Key, result.NoReplica, fmt.Sprintf("service %q has no servable snapshot", svc.Name), fx)
		return
	}
	w := &waiter{req: req, arrived: now.Mono, deadline: now.Mono + timeoutOf(req, svc)}
	if e.canStart(now, svc, plan) && e.gate.waitingFor(svc.Name) == 0 {
		e.start(now, w, svc, plan, fx)
		return
	}
	e.enqueue(now, caller, svc, plan, w, fx)
}

func timeoutOf(req *query.Request, svc *release.Service) time.Duration {
	if req.Timeout > 0 && req.Timeout < svc.Policy.Deadline {
		return req.Timeout
	}
	return svc.Policy.Deadline
}

func (e *Engine) admit(req *query.Request) (*release.Caller, *release.Service, *result.Error) {
	if e.state == nil {
		return nil, nil, &result.Error{Code: result.NotReady, Detail: "no configuration in force"}
	}
	if e.draining {
		return nil, nil, &result.Error{Code: result.Draining, Detail: "host is stopping"}
	}
	if e.isolated {
		return nil, nil, &result.Error{Code: result.Isolated, Detail: "neither the platform nor a peer is reached"}
	}
	caller := e.state.CallerByKeyHash(req.KeyHash)
	if caller == nil {
		return nil, nil, &result.Error{Code: result.CallerUnknown, Detail: "no caller has this key"}
	}
	svc, ok := e.state.Services[req.Service]
	if !ok {
		return nil, nil, &result.Error{Code: result.ServiceUnknown, Detail: fmt.Sprintf("service %q is not in force", req.Service)}
	}
	if !caller.Services[req.Service] {
		return nil, nil, &result.Error{Code: result.CallerForbidden, Detail: fmt.Sprintf("caller %q may not use service %q", caller.Name, req.Service)}
	}
	return caller, svc, nil
}
