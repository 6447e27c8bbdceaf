package spanrill.decisions;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Orders the client connections that can carry the release of a session whose own connection has closed. Every
 * connection that leads to viewers is suitable: the session may have ended because the servers refuse everybody, and
 * then no viewer is served on any connection.
 */
public final class ReleaseRoutes {
    private ReleaseRoutes() {}

    /**
     * A client connection.
     *
     * @param activity the most useful input so far
     * @param writable true when output can be written
     * @param lastUsefulAt time of the last useful input, ms
     */
    public record Route(ClientActivity activity, boolean writable, double lastUsefulAt) {
        private boolean isUsable() {
            return writable && activity.leadsToViewers();
        }
    }

    private static final Comparator<Route> PREFERRED_FIRST = Comparator.comparing(Route::activity)
            .thenComparing(Route::lastUsefulAt)
            .reversed();

    /**
     * Returns the indices of the usable connections in the order of preference: first those on which viewers were
     * served, then those on which they only asked, each with the latest useful input first.
     */
    public static List<Integer> order(List<Route> routes) {
        return IntStream.range(0, routes.size())
                .boxed()
                .filter(index -> routes.get(index).isUsable())
                .sorted(Comparator.comparing(routes::get, PREFERRED_FIRST))
                .toList();
    }
}
