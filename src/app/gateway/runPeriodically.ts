/**
 * Runs work again and again, each time after an interval that it chooses itself.
 *
 * @param work - returns the time until it runs again, in ms
 * @returns stops it
 */
export const runPeriodically = (work: () => number): (() => void) => {
  let timer = setTimeout(function run() {
    timer = setTimeout(run, work());
  }, 0);
  return () => clearTimeout(timer);
};
