package spanrill.standin.box;

/** A session at a box. */
final class BoxSession {
    final String key;
    final int front;
    final String zone;
    final String title;
    final double scale;
    int rung;
    double seenAt;
    int segments;
    boolean toldShort;

    BoxSession(String key, int front, String zone, String title, double scale, int rung, double now) {
        this.key = key;
        this.front = front;
        this.zone = zone;
        this.title = title;
        this.scale = scale;
        this.rung = rung;
        seenAt = now;
    }
}
