package spanrill.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Makes a field optional and gives the value that applies when a settings file omits the field. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Default {
    /** The value as JSON text; {@code null} leaves the record component null. */
    String value();
}
