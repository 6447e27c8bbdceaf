package spanrill.node;

import java.lang.reflect.Proxy;

/**
 * Installs signal handlers. The supported Java API has no signal handling, so this class calls
 * {@code sun.misc.Signal} (module jdk.unsupported) by reflection.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs the action on a thread of the runtime each time the process receives the signal.
     *
     * @return false when the handler cannot be installed, or has no effect because the process was started with
     *     the signal ignored (by nohup, for example): the runtime then keeps ignoring the signal without an error
     */
    static boolean handle(String signalName, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    handlerType.getClassLoader(),
                    new Class<?>[] {handlerType},
                    (receiver, method, args) -> switch (method.getName()) {
                        case "handle" -> {
                            action.run();
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(receiver);
                        case "equals" -> receiver == args[0];
                        default -> signalName;
                    });
            Object previousHandler = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signalType.getConstructor(String.class).newInstance(signalName), proxy);
            return previousHandler != handlerType.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
