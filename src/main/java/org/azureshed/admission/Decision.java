package org.azureshed.admission;

/** The result of admission: a {@link Ticket} to run the request, or a {@link Refusal}. */
public sealed interface Decision permits Ticket, Refusal {}
