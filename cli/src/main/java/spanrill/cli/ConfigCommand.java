package spanrill.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.day.Day;
import spanrill.front.FrontSettings;
import spanrill.settings.Settings;

/** Checks settings. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Settings.",
        subcommands = {ConfigCommand.Check.class, CommandLine.HelpCommand.class})
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Checks one file. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Tells whether a file can be used, or the line, field and reason why not.")
    static final class Check implements Callable<Integer> {
        /** What a file may be. */
        enum Sort {
            FRONT,
            DAY
        }

        @Parameters(paramLabel = "FILE", description = "a Jsonnet file")
        private Path file;

        @Option(
                names = "--as",
                defaultValue = "FRONT",
                description = "what it is: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
        private Sort sort;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Class<?> schema = sort == Sort.FRONT ? FrontSettings.class : Day.class;
            Settings.read(file, schema);
            spec.commandLine().getOut().println(file + ": can be used");
            return Exit.HELD;
        }
    }
}
