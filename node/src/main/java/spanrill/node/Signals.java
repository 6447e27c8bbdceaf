package spanrill.node;

import java.lang.reflect.Proxy;

/**
 * Handlers for signals. The platform offers none in its supported interface, so {@code sun.misc.Signal}
 * (module jdk.unsupported) is reached by name.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs the action on a thread of the runtime's at each such signal; false when that can't be had, as
     * where the process was started with the signal ignored (by nohup, say): the runtime leaves it so,
     * unsaid.
     */
    static boolean on(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    handler.getClassLoader(),
                    new Class<?>[] {handler},
                    (self, method, args) -> switch (method.getName()) {
                        case "handle" -> {
                            action.run();
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(self);
                        case "equals" -> self == args[0];
                        default -> name;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
