package org.azureshed.simulation;

import java.util.List;

/** A connection of a target, with its ways to answer. */
final class TargetConnection implements ConnectionEnd.Listener {
    private static final List<String> ODD_LINES =
            List.of("HTTP/1.1 1000 X", "HTTP/1.1 99 X", "HTTP/1.1 0200 X", "HTTP/2.0 200 X", "OK");

    /** Share of a whole answer after which a cut one ends. */
    private static final double CUT_SHARE = 0.6;

    private static final long SHORT_WORK_MILLIS = 30;

    private static final long LONG_WORK_MILLIS = 600;

    /** Shortest and longest work on the route whose requests run long. */
    private static final long MIN_SLOW_MILLIS = 1_000;

    private static final long MAX_SLOW_MILLIS = 4_000;

    /** One in some requests takes longer. */
    private static final int LONG_WORK_ONE_IN = 8;

    /** Longest time from an answer to a copy of its beginning. */
    private static final long MAX_COPY_MILLIS = 60;

    /** Longer than the timeouts of some routes. */
    private static final long SLOW_MILLIS = 3_000;

    private final TargetParty target;
    private final ConnectionEnd end;
    private final HttpReader reader;
    private String copyBeforeNext = "";
    private String copyAfterAnswer = "";
    private int requests;
    private int answers;
    private boolean answeredEarly;

    TargetConnection(TargetParty target, ConnectionEnd end) {
        this.target = target;
        this.end = end;
        this.reader = new HttpReader(false, this::headRead, this::handle);
    }

    void close() {
        end.close();
    }

    @Override
    public void readable() {
        for (byte[] bytes = end.read(); bytes != null; bytes = end.read()) {
            reader.read(bytes);
        }
        if (end.isAtEnd()) {
            end.close();
            target.forget(this);
        }
    }

    private void headRead(HttpReader.Message head) {
        boolean hasBody =
                head.headers().containsKey("content-length")
                        || head.headers().containsKey("transfer-encoding");
        if (hasBody
                && !misdirected(head)
                && target.nextAnswering() == Action.Answering.EARLY_UNFRAMED_RESET) {
            answeredEarly = true;
            Journal.Run run = target.run(head, 200, false);
            write(
                    TargetAnswers.unframed(run)
                            .substring(0, TargetAnswers.unframed(run).length() / 2));
            target.time().afterMillis(20, end::abort);
        }
    }

    private boolean misdirected(HttpReader.Message head) {
        String expected = head.header("x-azureshed-expected-instance");
        return !expected.isEmpty() && !expected.equals(target.id());
    }

    private void handle(HttpReader.Message request) {
        requests++;
        if (answeredEarly) {
            return;
        }
        if (misdirected(request)) {
            write(HttpText.response(421, TargetAnswers.NOT_EXECUTED, ""));
            return;
        }
        if (request.requestId().isEmpty()) {
            write(HttpText.response(400, TargetAnswers.NOT_EXECUTED, ""));
            return;
        }
        Action.Answering answering = target.nextAnswering();
        if (answering == null) {
            later(request, TargetAnswers.whole(target.run(request, 200, true)));
        } else {
            answer(request, answering);
        }
    }

    private void answer(HttpReader.Message request, Action.Answering answering) {
        switch (answering) {
            case SHED -> later(request, TargetAnswers.shed(request));
            case SHED_TWICE ->
                    later(request, TargetAnswers.shed(request) + TargetAnswers.shed(request));
            case SHED_AGAIN_LATER -> {
                later(request, TargetAnswers.shed(request));
                copyBeforeNext = TargetAnswers.shed(request);
            }
            case FAIL -> later(request, TargetAnswers.whole(target.run(request, 500, true)));
            case TWICE -> {
                String answer = TargetAnswers.whole(target.run(request, 200, true));
                later(request, answer + answer);
            }
            case AGAIN_LATER -> {
                String answer = TargetAnswers.whole(target.run(request, 200, true));
                later(request, answer);
                copyBeforeNext = answer;
            }
            case PART_AGAIN_LATER -> {
                String answer = TargetAnswers.whole(target.run(request, 200, true));
                int part = target.random().nextInt(answer.length());
                later(request, answer);
                copyAfterAnswer = answer.substring(0, part);
            }
            case SLOW -> {
                Journal.Run run = target.run(request, 200, false);
                target.time().afterMillis(SLOW_MILLIS, () -> write(TargetAnswers.whole(run)));
            }
            case ODD_LINE -> {
                Journal.Run run = target.run(request, 0, false);
                String framed = TargetAnswers.whole(run);
                String line = ODD_LINES.get(run.number() % ODD_LINES.size());
                later(request, line + framed.substring(framed.indexOf("\r\n")));
            }
            default -> breakOff(request, answering);
        }
    }

    /** Runs a request and ends the connection, with or without a whole answer before that. */
    private void breakOff(HttpReader.Message request, Action.Answering answering) {
        Journal.Run run = target.run(request, 200, answering == Action.Answering.UNFRAMED);
        String framed = TargetAnswers.whole(run);
        String head = framed.substring(0, framed.indexOf("\r\n\r\n"));
        switch (answering) {
            case RESET -> end.abort();
            case CUT_HEAD -> writeAndClose(head.substring(0, (int) (head.length() * CUT_SHARE)));
            case CUT_BODY -> writeAndClose(framed.substring(0, framed.length() - 3));
            case UNFRAMED -> writeAndClose(TargetAnswers.unframed(run));
            case UNFRAMED_RESET, EARLY_UNFRAMED_RESET -> {
                write(
                        TargetAnswers.unframed(run)
                                .substring(0, TargetAnswers.unframed(run).length() - 3));
                target.time().afterMillis(5, end::abort);
            }
            default -> {
                // No answer.
            }
        }
    }

    /** Writes an answer after some work; the copy of an earlier one comes before it. */
    private void later(HttpReader.Message request, String text) {
        String bytes = copyBeforeNext + text;
        copyBeforeNext = "";
        target.time().afterMillis(workMillis(request), () -> finish(bytes));
    }

    private void finish(String answer) {
        write(answer);
        String copy = copyAfterAnswer;
        copyAfterAnswer = "";
        if (!copy.isEmpty()) {
            target.time().afterMillis(target.random().nextLong(MAX_COPY_MILLIS), () -> write(copy));
        }
        if (answer.contains(TargetAnswers.CLOSE)) {
            end.close();
        }
        answers++;
        int answered = answers;
        target.time()
                .afterMillis(
                        TargetAnswers.KEEP_ALIVE_MILLIS,
                        () -> {
                            if (answered == answers && requests == answers) {
                                end.close();
                            }
                        });
    }

    private long workMillis(HttpReader.Message request) {
        if (request.startLine().contains("/slow/")) {
            return target.random().nextLong(MIN_SLOW_MILLIS, MAX_SLOW_MILLIS);
        }
        boolean isLong = target.random().nextInt(LONG_WORK_ONE_IN) == 0;
        return 1 + target.random().nextLong(isLong ? LONG_WORK_MILLIS : SHORT_WORK_MILLIS);
    }

    private void write(String text) {
        if (!end.isClosed()) {
            end.write(HttpText.bytes(text));
        }
    }

    private void writeAndClose(String text) {
        write(text);
        end.close();
    }
}
