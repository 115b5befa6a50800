package failure

import "errors"

// Checks collects the failures of several fields, so that one error names every invalid field.
type Checks struct {
	failures []error
}

// Refuse records an InvalidField failure if the condition is true.
func (c *Checks) Refuse(condition bool, field, format string, arguments ...any) {
	if condition {
		c.failures = append(c.failures, Invalid(field, format, arguments...))
	}
}

// Add records the failures of a nested struct. The prefix and a dot precede the names of its fields.
func (c *Checks) Add(prefix string, err error) {
	for _, one := range Faults(err) {
		nested := *one
		nested.Field = prefix + "." + one.Field
		c.failures = append(c.failures, &nested)
	}
}

// Err returns the recorded failures as one joined error, or nil if there are none.
func (c *Checks) Err() error { return errors.Join(c.failures...) }

// joined is implemented by the errors that errors.Join returns.
type joined interface{ Unwrap() []error }

// Faults returns the failures joined in an error. An error that contains no Failure becomes one with code Internal.
func Faults(err error) []*Failure {
	if err == nil {
		return nil
	}
	if many, isJoined := err.(joined); isJoined {
		var failures []*Failure
		for _, part := range many.Unwrap() {
			failures = append(failures, Faults(part)...)
		}
		return failures
	}
	return []*Failure{From(err)}
}
