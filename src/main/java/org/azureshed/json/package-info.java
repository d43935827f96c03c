/**
 * JSON written by others: parts of a document are read on their own, so that one cannot spoil the
 * rest.
 */
package org.azureshed.json;
