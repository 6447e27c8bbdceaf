package spanrill.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import spanrill.settings.SettingsException;

/** Entry point. */
@Command(
        name = "spanrill",
        mixinStandardHelpOptions = true,
        version = "spanrill 0.2.0",
        description = "A session front: places and shapes video sessions on boxes with shared links.",
        footerHeading = "%nExit codes:%n",
        footer = {
            "  0  done; of rehearse and check: every rule held",
            "  2  bad input: the message has the place and the reason",
            "  3  a rule was broken",
            "  4  could not run (an address taken, a file not writable)",
            "",
            "First steps:",
            "  spanrill rehearse days/first-bad-day.jsonnet    fronts and stand-ins on a bad day, judged",
            "  spanrill config check front.jsonnet             is this file usable?",
            "  spanrill serve front.jsonnet                    run a front"
        },
        subcommands = {
            ServeCommand.class,
            StandinCommand.class,
            RehearseCommand.class,
            EmulateCommand.class,
            AgreeCommand.class,
            VersionsCommand.class,
            CheckCommand.class,
            SoakCommand.class,
            MeasureCommand.class,
            SharesCommand.class,
            TicketsCommand.class,
            PlotCommand.class,
            TokenCommand.class,
            ConfigCommand.class,
            ModelCommand.class,
            ReportCommand.class,
            MpdCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command and exits with its code. */
    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    /** The command line, as tests run it too. */
    static CommandLine line() {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, commandLine, result) -> {
            if (e instanceof SettingsException || e instanceof BadInput) {
                commandLine.getErr().println(commandLine.getCommandName() + ": " + e.getMessage());
                return Exit.BAD_INPUT;
            }
            if (e instanceof IOException) {
                commandLine.getErr().println(commandLine.getCommandName() + ": " + e.getMessage());
                return Exit.COULD_NOT_RUN;
            }
            throw e;
        });
    }

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }
}
