package spanrill.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import javax.tools.Diagnostic;
import javax.tools.DiagnosticCollector;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;
import spanrill.SessionControl;
import spanrill.session.SessionCore;

/**
 * Another text of the module: a file with a {@code spanrill.Control} of its own, compiled in memory and
 * loaded beside the one that is built in. For trying changes, and for playing past versions.
 */
final class ModuleSource {
    private static final String NAME = "spanrill.Control";

    private ModuleSource() {}

    /**
     * The policy of a source file.
     *
     * @throws BadInput with the place and reason when it can't be read or compiled
     */
    static SessionCore.ModuleFactory compile(Path file) throws BadInput {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null) {
            throw new BadInput("this Java has no compiler: a JDK is needed to play another module");
        }
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new BadInput(file + ": can't be read");
        }
        DiagnosticCollector<JavaFileObject> found = new DiagnosticCollector<>();
        Map<String, ByteArrayOutputStream> classes = new HashMap<>();
        JavaFileManager manager = new ForwardingJavaFileManager<>(compiler.getStandardFileManager(found, null, null)) {
            @Override
            public JavaFileObject getJavaFileForOutput(
                    Location location, String name, JavaFileObject.Kind kind, FileObject sibling) {
                return new SimpleJavaFileObject(URI.create("mem:///" + name + ".class"), kind) {
                    @Override
                    public OutputStream openOutputStream() {
                        return classes.computeIfAbsent(name, k -> new ByteArrayOutputStream());
                    }
                };
            }
        };
        JavaFileObject source =
                new SimpleJavaFileObject(URI.create("mem:///spanrill/Control.java"), JavaFileObject.Kind.SOURCE) {
                    @Override
                    public CharSequence getCharContent(boolean ignoreEncodingErrors) {
                        return text;
                    }
                };
        boolean compiled = compiler.getTask(
                        null,
                        manager,
                        found,
                        List.of("-classpath", System.getProperty("java.class.path"), "-proc:none"),
                        null,
                        List.of(source))
                .call();
        if (!compiled) {
            Diagnostic<?> first = found.getDiagnostics().stream()
                    .filter(d -> d.getKind() == Diagnostic.Kind.ERROR)
                    .findFirst()
                    .orElseThrow();
            throw new BadInput(file + ":" + first.getLineNumber() + ": "
                    + first.getMessage(Locale.ROOT).split("\\R")[0]);
        }
        if (!classes.containsKey(NAME)) {
            throw new BadInput(file + ": has no class " + NAME);
        }
        return policy(file, classes);
    }

    private static SessionCore.ModuleFactory policy(Path file, Map<String, ByteArrayOutputStream> classes)
            throws BadInput {
        ClassLoader loader = new ClassLoader(ModuleSource.class.getClassLoader()) {
            @Override
            protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
                if (!classes.containsKey(name)) {
                    return super.loadClass(name, resolve);
                }
                synchronized (getClassLoadingLock(name)) {
                    Class<?> loaded = findLoadedClass(name);
                    byte[] bytes = classes.get(name).toByteArray();
                    return loaded != null ? loaded : defineClass(name, bytes, 0, bytes.length);
                }
            }
        };
        try {
            Constructor<?> made = loader.loadClass(NAME)
                    .getConstructor(SessionControl.Settings.class, long.class, SessionControl.Actions.class);
            return (settings, seed, actions) -> {
                try {
                    return (SessionControl) made.newInstance(settings, seed, actions);
                } catch (InvocationTargetException e) {
                    throw new IllegalStateException("the module of " + file + " does not start", e.getCause());
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException("the module of " + file + " can't be made", e);
                }
            };
        } catch (ReflectiveOperationException | LinkageError | ClassCastException e) {
            throw new BadInput(file + ": its " + NAME + " is not made as this program makes one: " + e.getMessage());
        }
    }
}
