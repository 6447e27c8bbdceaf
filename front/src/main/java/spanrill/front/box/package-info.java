/** Client of the boxes over HTTP: a connection pool per box, set-ups, segments and note streams. */
package spanrill.front.box;
