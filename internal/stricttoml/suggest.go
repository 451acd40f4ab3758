package stricttoml

import "fmt"

// maxSuggestDistance is the maximum edit distance of a suggested name.
const maxSuggestDistance = 3

// SuggestClosest returns a suggestion of the known name closest to an unknown one, to be appended to an error message. It
// returns "" if no name is close: at most three edits away, and fewer edits than the name has letters.
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

// editDistance returns the Levenshtein distance in bytes.
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
