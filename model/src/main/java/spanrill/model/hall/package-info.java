/** Halls, the latency between them, and which of them are isolated from the others. */
package spanrill.model.hall;
