/** The stand-in registry: tells each front of boxes, late, over HTTP long-poll. */
package spanrill.standin.registry;
