/** What a command's exit code tells a script; the operators' page has the same table. */
export const EXIT_CODES = {
  done: 0,
  /** Lost a race against another operator, or any failure without a code of its own. */
  failed: 1,
  /** Wrong usage, or a file or value that was refused. */
  invalid: 2,
  /** The request was certainly not run. */
  notRun: 3,
  /** It isn't known whether the request, or the write, took effect. */
  unknown: 4,
  /** The platform's object service, or the entry that was asked, can't be reached. */
  unreachable: 5,
} as const;
