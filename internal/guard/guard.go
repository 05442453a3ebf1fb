// Package guard turns a panic over one record or message into an error, so that input of another
// writer cannot end a process, nor all processes that read it one after the other.
package guard

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic with the stack that it came from.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the panic's value with its stack.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Do calls f and returns its error, or a *PanicError if f panics. What f changes must stay sound if it
// ends at any point.
func Do(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}
