// Package experiment asks one question of many rehearsed days. It owns the question's file, the plan of
// its runs (which arm, which level, which seed, in which order), the store of their results, and what may
// be concluded from them. It never plays a day itself: a Player does. It draws all seeds before the first
// run and judges no run by its result: what is void is so by the player's word.
package experiment
