// Package experiment answers one question by comparing many simulated days. It owns the experiment file, the plan of
// its runs (arm, level, seed and order), the store of their results, and the statistics over them. It never plays a
// day itself: a Player does. To avoid bias it draws all seeds before the first run and never discards a run because of
// its result: only the player declares a run void.
package experiment
