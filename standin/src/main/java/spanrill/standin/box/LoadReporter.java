package spanrill.standin.box;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import spanrill.SessionControl.Load;
import spanrill.day.Day;
import spanrill.model.link.LinkNetwork;
import spanrill.wire.box.Note;

/** What a box tells of itself: how much of its rate a session gets, and how full link and uplink are. */
final class LoadReporter {
    private static final double MOST_USE = 99;
    private static final double SHORT = 0.98;

    private final Day day;
    private final LinkNetwork network;
    private final int cell;
    private final int rack;
    private final NoteStreams notes;
    private final Impairments condition;
    private double shownLink;
    private double shownUplink;

    LoadReporter(Day day, LinkNetwork network, int cell, int rack, NoteStreams notes, Impairments condition) {
        this.day = day;
        this.network = network;
        this.cell = cell;
        this.rack = rack;
        this.notes = notes;
        this.condition = condition;
    }

    /** A use as it can be told: a link that gives nothing is told as very full. */
    private static double shown(double use) {
        return Math.min(use, MOST_USE);
    }

    Load load(double inflight) {
        return new Load(inflight, shownLink, shownUplink);
    }

    /** A session began: its front hears how full things are now. */
    void reportSessionStart(BoxSession session) {
        notes.send(session.front, new Note(Note.Kind.LINK, session.key, shown(network.linkUtilization(cell))));
        notes.send(session.front, new Note(Note.Kind.UPLINK, session.key, shown(network.uplinkUtilization(rack))));
    }

    void reportSessionEnd(BoxSession session) {
        notes.send(session.front, new Note(Note.Kind.OVER, session.key, 0));
    }

    private void late(BoxSession session, Predicate<BoxSession> still, Note... told) {
        notes.sendDelayed(
                day.notes().lateMs() + condition.lateMs,
                () -> still.test(session) && !condition.isUnreachableFrom(session.zone),
                session.front,
                told);
    }

    /** Each second: the share delivered, on one session of each front. */
    void reportDeliveredShare(Collection<BoxSession> sessions, Predicate<BoxSession> still) {
        Set<Integer> told = new HashSet<>();
        for (BoxSession session : sessions) {
            if (!told.add(session.front)) {
                continue;
            }
            double share = network.share(cell);
            boolean isShort = share < SHORT;
            if (isShort || session.toldShort) {
                late(session, still, new Note(Note.Kind.DELIVERED, session.key, share));
            }
            session.toldShort = isShort;
        }
    }

    /** At the stated interval: how full link and uplink are, on one session of each front. */
    void reportLinkUse(Collection<BoxSession> sessions, Predicate<BoxSession> still) {
        shownLink = shown(network.linkUtilization(cell));
        shownUplink = shown(network.uplinkUtilization(rack));
        Set<Integer> told = new HashSet<>();
        for (BoxSession session : sessions) {
            if (told.add(session.front)) {
                late(
                        session,
                        still,
                        new Note(Note.Kind.LINK, session.key, shownLink),
                        new Note(Note.Kind.UPLINK, session.key, shownUplink));
            }
        }
    }
}
