package chooser

// Explanation is a choice with the scores of all candidates.
type Explanation struct {
	choice     Choice
	scores     []Score
	considered []bool
}

// Choice returns the choice.
func (e Explanation) Choice() Choice { return e.choice }

// Score returns the score of the target with the index in Input.Targets, or false if the target gets no call.
func (e Explanation) Score(index int) (Score, bool) { return e.scores[index], e.considered[index] }

// Explain makes the choice that Choose makes and returns it with the scores, which have no random addition.
func Explain(in Input) Explanation {
	e := Explanation{choice: Choose(in), scores: make([]Score, len(in.Targets)), considered: make([]bool, len(in.Targets))}
	loads, utilisation := projectLoads(in), meanUtilisation(in)
	for i, t := range in.Targets {
		switch {
		case excluded(t, in):
			continue
		case in.Even:
			e.scores[i] = defaultEvenSettings.score(t, in, &loads)
		default:
			e.scores[i] = scoreTarget(t, in, utilisation)
		}
		e.considered[i] = true
	}
	return e
}
