package spanrill.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.settings.Settings;
import spanrill.standin.box.BoxFleet;
import spanrill.standin.box.ReceivedBytes;
import spanrill.standin.registry.Entry;
import spanrill.standin.registry.StandinRegistry;
import spanrill.standin.token.Issuer;
import spanrill.standin.token.IssuerService;

/** Runs single stand-ins by hand, beside a front that is served by hand. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in until it is stopped. Start boxes first, then the registry by their list.",
        subcommands = {
            StandinCommand.Boxes.class,
            StandinCommand.Registry.class,
            StandinCommand.Issuing.class,
            CommandLine.HelpCommand.class
        })
final class StandinCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    private static EventLoop loop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    private static int forever() throws InterruptedException {
        new CountDownLatch(1).await();
        return Exit.HELD;
    }

    private static void say(CommandSpec spec, String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    /** The boxes of a day. */
    @Command(name = "boxes", mixinStandardHelpOptions = true, description = "The replay boxes of a day file.")
    static final class Boxes implements Callable<Integer> {
        @Parameters(paramLabel = "DAY", description = "a day file")
        private Path file;

        @Option(names = "--list", required = true, paramLabel = "FILE", description = "write their list there")
        private Path list;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Day day = Settings.read(file, Day.class);
            BoxFleet fleet = new BoxFleet(day, day.seed(), loop(), new EventRecorder(null), new ReceivedBytes(), null);
            fleet.open();
            List<Entry> entries = fleet.entries();
            Files.writeString(
                    list, new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(entries));
            say(spec, entries.size() + " boxes; list in " + list);
            return forever();
        }
    }

    /** The registry. */
    @Command(name = "registry", mixinStandardHelpOptions = true, description = "The registry of boxes and titles.")
    static final class Registry implements Callable<Integer> {
        @Parameters(paramLabel = "DAY", description = "a day file")
        private Path file;

        @Option(names = "--list", required = true, paramLabel = "FILE", description = "what 'standin boxes' wrote")
        private Path list;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Day day = Settings.read(file, Day.class);
            StandinRegistry registry = new StandinRegistry(loop(), new EventRecorder(null), day.seed());
            registry.addTitlesOf(day, day.seed());
            try {
                registry.addBoxes(
                        new ObjectMapper().readValue(Files.readString(list), new TypeReference<List<Entry>>() {}));
            } catch (IOException e) {
                throw new BadInput(list + ": is no list of boxes");
            }
            say(spec, "registry on port " + registry.listen());
            return forever();
        }
    }

    /** The issuer. */
    @Command(
            name = "issuer",
            mixinStandardHelpOptions = true,
            description = {
                "The issuer: GET /token?title=T&class=C&viewer=V&top=N answers with a token,",
                "GET /keys with the JWK set that a front verifies by."
            })
    static final class Issuing implements Callable<Integer> {
        @Parameters(paramLabel = "KEYS", description = "private JWK set (spanrill token --new-keys)")
        private Path file;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            say(spec, "issuer on port " + IssuerService.listen(loop(), Issuer.read(file)));
            return forever();
        }
    }
}
