package chart

import (
	"context"

	"github.com/qmuntal/stateless"
)

func transitionFunc(changed func(from, to string)) stateless.TransitionFunc {
	return func(_ context.Context, t stateless.Transition) {
		if t.IsReentry() {
			return
		}
		changed(t.Source.(string), t.Destination.(string))
	}
}
