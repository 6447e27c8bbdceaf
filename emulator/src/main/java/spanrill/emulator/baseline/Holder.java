package spanrill.emulator.baseline;

import spanrill.SessionControl.ServerState;

/** What a textbook rule knows of a server. */
final class Holder {
    final String id;
    int cell;
    ServerState state;
    int sessions;
    private double linkUse;
    private double uplinkUse;

    Holder(String id) {
        this.id = id;
    }

    void heard(double link, double uplink) {
        linkUse = Double.isNaN(link) ? linkUse : link;
        uplinkUse = Double.isNaN(uplink) ? uplinkUse : uplink;
    }

    /**
     * The tighter of link and uplink as last heard; its own sessions tell holders apart that are heard alike.
     */
    double load() {
        return Math.max(linkUse, uplinkUse) + 0.01 * sessions;
    }
}
