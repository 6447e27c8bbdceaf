package spanrill.session;

import spanrill.decisions.AnswerDeadline;

/**
 * A class of session, as the session core and the viewer protocols (such as DASH) need it.
 *
 * @param once true when a session is paid for at set-up and must be set up at most once
 * @param floor lowest rung
 * @param scale rates of the class as a multiple of those of the ladder
 * @param answerTime when answers to requests of the class are due
 */
public record SessionType(boolean once, int floor, double scale, AnswerDeadline answerTime) {}
