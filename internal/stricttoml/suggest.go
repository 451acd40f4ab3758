package stricttoml

import "fmt"

// maxSuggestDistance is the greatest edit distance of a name that is suggested.
const maxSuggestDistance = 3

// SuggestClosest words a suggestion of the known name nearest to one that isn't known, to be put behind an error's
// text. It is "" where none is near: more than three edits away, or so many that little of the name would be left.
func SuggestClosest(name string, known []string) string {
	closest, closestDistance := "", maxSuggestDistance+1
	for _, candidate := range known {
		distance := editDistance(name, candidate)
		if distance < closestDistance && distance < max(len(name), 3) {
			closest, closestDistance = candidate, distance
		}
	}
	if closest == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %s?)", closest)
}

// editDistance is Levenshtein's, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
