/** The stand-in registry: publishes the list of boxes to fronts over HTTP long polling, with delays. */
package spanrill.standin.registry;
