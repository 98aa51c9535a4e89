import unittest

from daisystack.core.verdicts import AttemptEnd, Verdict, classify_attempt, combine_verdicts


class TestVerdicts(unittest.TestCase):
    def test_not_run_is_reported_only_before_any_byte_was_sent(self):
        table = {
            AttemptEnd.NO_UPSTREAM: Verdict.NOT_RUN,
            AttemptEnd.CONNECT_FAILED: Verdict.NOT_RUN,
            AttemptEnd.REFUSED_AT_GATE: Verdict.NOT_RUN,
            AttemptEnd.ANSWER_FOREIGN: Verdict.MAY_HAVE_RUN,
            AttemptEnd.ANSWER_MIXED: Verdict.MAY_HAVE_RUN,
            AttemptEnd.OUTCOME_LOST: Verdict.MAY_HAVE_RUN,
            AttemptEnd.STILL_RUNNING: Verdict.MAY_HAVE_RUN,
            AttemptEnd.SHED: Verdict.NOT_RUN,
            AttemptEnd.NEVER_ARRIVED: Verdict.NOT_RUN,
            AttemptEnd.DEADLINE_IN_QUEUE: Verdict.NOT_RUN,
            AttemptEnd.NO_ANSWER: Verdict.MAY_HAVE_RUN,
            AttemptEnd.ANSWER_CUT: Verdict.MAY_HAVE_RUN,
            AttemptEnd.CALLER_GONE: Verdict.MAY_HAVE_RUN,
            AttemptEnd.ANSWERED: Verdict.RAN,
        }
        for end, verdict in table.items():
            with self.subTest(end=end):
                self.assertIs(classify_attempt(end), verdict)

    def test_an_attempt_that_may_have_run_outweighs_attempts_not_run(self):
        verdicts = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN]
        self.assertIs(combine_verdicts(verdicts), Verdict.MAY_HAVE_RUN)
        self.assertIs(combine_verdicts([]), Verdict.NOT_RUN)
