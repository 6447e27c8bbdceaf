/**
 * The running front. {@link spanrill.front.SessionCore} hosts one module on one event loop and knows no
 * protocol; a viewer side ({@code dash}) offers it requests, a box side ({@code box}) carries out what the
 * module decides, {@code list} tells it of boxes, {@code token} reads who may watch.
 */
package spanrill.front;
