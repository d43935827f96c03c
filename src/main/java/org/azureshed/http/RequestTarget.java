package org.azureshed.http;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where a request goes, whichever form its request line has (RFC 9112, section 3.2). A server must
 * accept the absolute form, which callers use towards a proxy; its authority replaces the Host
 * header.
 *
 * <pre>{@code
 * RequestTarget.of("http://shop.example:80/cart?full=1", "other").path(); // "/cart?full=1"
 * }</pre>
 *
 * @param authority host with an optional port, as sent
 * @param path path and query, as sent; for other forms the whole target
 */
public record RequestTarget(String authority, String path) {
    private static final Pattern ABSOLUTE_FORM =
            Pattern.compile("(?i)https?://([^/?]*)([/?].*)?", Pattern.DOTALL);

    /**
     * Reads the target of a request.
     *
     * @param target second word of the request line
     * @param hostHeader value of the Host header; empty if there is none
     * @return the authority and the path
     */
    public static RequestTarget of(String target, String hostHeader) {
        Matcher absolute = ABSOLUTE_FORM.matcher(target);
        if (!absolute.matches()) {
            return new RequestTarget(hostHeader, target);
        }
        String userAndHost = absolute.group(1);
        String rest = absolute.group(2) == null ? "" : absolute.group(2);
        return new RequestTarget(
                userAndHost.substring(userAndHost.lastIndexOf('@') + 1),
                rest.startsWith("/") ? rest : '/' + rest);
    }

    /**
     * Name of the host, in the form in which names are compared.
     *
     * @return the name in lower case, without a port and a final dot
     */
    public String host() {
        String trimmed = authority.trim();
        int bracket = trimmed.lastIndexOf(']');
        int colon = trimmed.indexOf(':', Math.max(0, bracket));
        return comparableHost(colon < 0 ? trimmed : trimmed.substring(0, colon));
    }

    /**
     * Converts the name of a host to the form in which names are compared.
     *
     * @param name the name, without a port
     * @return the name in lower case and without a final dot, which marks an absolute name
     */
    public static String comparableHost(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return lower.endsWith(".") ? lower.substring(0, lower.length() - 1) : lower;
    }
}
