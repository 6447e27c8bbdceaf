package spanrill.standin.box;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import spanrill.SessionControl.Load;
import spanrill.day.Day;
import spanrill.model.link.LinkNetwork;
import spanrill.wire.box.Note;

/** Reports a box's load to its fronts: the share of its rate that a session gets, and the use of link and uplink. */
final class LoadReporter {
    private static final double MAX_REPORTED_USE = 99;
    private static final double SHORT_SHARE = 0.98;

    private final Day day;
    private final LinkNetwork network;
    private final int cell;
    private final int rack;
    private final NoteStreams notes;
    private final Impairments impairments;
    private double reportedLinkUse;
    private double reportedUplinkUse;

    LoadReporter(Day day, LinkNetwork network, int cell, int rack, NoteStreams notes, Impairments impairments) {
        this.day = day;
        this.network = network;
        this.cell = cell;
        this.rack = rack;
        this.notes = notes;
        this.impairments = impairments;
    }

    /** Limits a use to what a note can carry: a link without capacity has an infinite use. */
    private static double limitUse(double use) {
        return Math.min(use, MAX_REPORTED_USE);
    }

    Load load(double inflight) {
        return new Load(inflight, reportedLinkUse, reportedUplinkUse);
    }

    /** Reports the current use of link and uplink to the front of a session that has just started. */
    void reportSessionStart(BoxSession session) {
        notes.send(session.front, new Note(Note.Kind.LINK, session.key, limitUse(network.linkUtilization(cell))));
        notes.send(session.front, new Note(Note.Kind.UPLINK, session.key, limitUse(network.uplinkUtilization(rack))));
    }

    void reportSessionEnd(BoxSession session) {
        notes.send(session.front, new Note(Note.Kind.OVER, session.key, 0));
    }

    private void sendDelayed(BoxSession session, Predicate<BoxSession> isActive, Note... sent) {
        notes.sendDelayed(
                day.notes().lateMs() + impairments.noteDelayMs,
                () -> isActive.test(session) && !impairments.isUnreachableFrom(session.zone),
                session.front,
                sent);
    }

    /**
     * Reports to each front, with a note on one session, which share of the requested media rate the box delivers.
     * Called each second. Sends only while the share is below {@link #SHORT_SHARE}, and once after it recovers.
     */
    void reportDeliveredShare(Collection<BoxSession> sessions, Predicate<BoxSession> isActive) {
        Set<Integer> reportedFronts = new HashSet<>();
        for (BoxSession session : sessions) {
            if (!reportedFronts.add(session.front)) {
                continue;
            }
            double share = network.share(cell);
            boolean isShort = share < SHORT_SHARE;
            if (isShort || session.reportedShort) {
                sendDelayed(session, isActive, new Note(Note.Kind.DELIVERED, session.key, share));
            }
            session.reportedShort = isShort;
        }
    }

    /** Reports the use of link and uplink, on one session of each front. Called at the day's report interval. */
    void reportLinkUse(Collection<BoxSession> sessions, Predicate<BoxSession> isActive) {
        reportedLinkUse = limitUse(network.linkUtilization(cell));
        reportedUplinkUse = limitUse(network.uplinkUtilization(rack));
        Set<Integer> reportedFronts = new HashSet<>();
        for (BoxSession session : sessions) {
            if (reportedFronts.add(session.front)) {
                sendDelayed(
                        session,
                        isActive,
                        new Note(Note.Kind.LINK, session.key, reportedLinkUse),
                        new Note(Note.Kind.UPLINK, session.key, reportedUplinkUse));
            }
        }
    }
}
