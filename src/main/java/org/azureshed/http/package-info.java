/** Checks that responses of an HTTP connection do not mix, for all clients of the project. */
package org.azureshed.http;
