// Package placement decides which model backends hold which models and adapters. It is
// pure: it is told what is configured, what backends hold, what is asked for and how
// orders ended, with the time on it, and gives the orders to send next.
//
// # What is wanted
//
// Demand is counted for each model: requests, the work that they ask for, and how many
// wait because no backend can run them. From the work follows how many backends should
// hold the model. A model that requests wait for comes first, whatever its work.
//
// # How it gets there
//
// A backend carries out one order at a time. A load needs room: where there is none, the
// models there that are worth the least are unloaded first. The worth of a model at a
// backend is what is asked of it, divided by those that hold it. A model is loaded only
// where it is worth more than what makes room for it. Nothing is unloaded for its own
// sake: room that nobody needs is of no use.
//
// # Bounds
//
// No order goes to a backend of which it isn't known what it holds, nor beyond its room.
// Loads from the store are spaced out by a bucket that no window of the store's bound can
// overflow, however often the planner starts anew.
package placement
