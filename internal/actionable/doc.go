// Package actionable is what errors that an operator can meet have in common: a type of their own, which errors.As
// finds, the cause that they wrap, and one sentence on what can be done. The types stand in the packages that return
// them; docs/ERRORS.md lists them and is generated from their source (internal/actionable/errorspage). The package
// holds no state, logs nothing and knows no error itself.
package actionable
