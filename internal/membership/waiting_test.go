package membership

import "testing"

func TestWhatAChangeOfTheVotersWaitsFor(t *testing.T) {
	onProbation := NewPolicy(1, 0, 0)
	onProbation.failures["d"] = 1
	for name, c := range map[string]struct {
		policy                *Policy
		voters, learners      int
		dead, leaving, behind string
		want                  Wait
	}{
		"nothing is due":          {NewPolicy(1, 0, 0), 3, 1, "", "", "d", Wait{}},
		"nobody for a lost voter": {NewPolicy(1, 0, 0), 3, 0, "c", "", "", Wait{Reason: NoLearner, Voter: "c"}},
		"a learner that leaves":   {NewPolicy(1, 0, 0), 3, 1, "", "cd", "", Wait{Reason: NoLearner, Voter: "c"}},
		"a learner behind":        {NewPolicy(1, 0, 0), 3, 1, "", "c", "d", Wait{LearnerBehind, "c", "d"}},
		"a vacant vote":           {NewPolicy(2, 0, 0), 3, 1, "", "", "d", Wait{LearnerBehind, "", "d"}},
		"a learner on probation":  {onProbation, 3, 1, "c", "", "", Wait{LearnerOnProbation, "c", "d"}},
		"the nearest learner":     {onProbation, 3, 2, "c", "", "e", Wait{LearnerOnProbation, "c", "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOf(group(c.voters, c.learners), c.dead, c.leaving, c.behind)
			if decision := c.policy.Decide(view); decision.Change != NoChange {
				t.Fatalf("%s of %s is decided", decision.Change, decision.Member.ID)
			}
			if wait := c.policy.Waiting(view); wait != c.want {
				t.Errorf("%+v, want %+v", wait, c.want)
			}
		})
	}
}
