package spanrill.settings;

/** A settings file cannot be used; the message names the place and the reason for an operator. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /** A message such as {@code front.jsonnet:12: field listen.port: value must be at most 65535, is 70000}. */
    public SettingsException(String message) {
        super(message);
    }
}
