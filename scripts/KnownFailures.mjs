import { readFileSync } from 'node:fs';
import { join, relative } from 'node:path';

const SEPARATOR = ' > ';
const CANCELLED = ['testTimeoutFailure', 'cancelledByParent'];

const parseEntry = (block) =>
  Object.fromEntries(
    block
      .split('\n')
      .map((line) => /^(test|command|seen|issue): (.*)$/.exec(line))
      .filter((match) => match !== null)
      .map(([, key, value]) => [key, value]),
  );

const readEntries = (root) =>
  readFileSync(join(root, 'KNOWN-RED.txt'), 'utf8')
    .split(/\n\s*\n/)
    .map(parseEntry)
    .filter(({ test }) => test !== undefined);

/** Tells the failures that KNOWN-RED.txt names from all others while the runner's events pass by. */
export class KnownFailures {
  constructor(root, files) {
    this.root = root;
    this.entries = readEntries(root).filter(({ test }) => files.includes(test.split(SEPARATOR)[0]));
    this.excused = new Set();
    this.passed = new Set();
    /** Excused tests by the line of the runner's summary that counts them. */
    this.excusedTests = { fail: 0, cancelled: 0 };
    this.failedFiles = new Set();
    this.path = [];
  }

  /** Gives what is to be printed for an event of the runner. */
  excuse(event) {
    switch (event.type) {
      case 'test:start':
        this.path.splice(event.data.nesting, Infinity, event.data.name);
        return [event];
      case 'test:pass':
        this.notePass(event.data);
        return [event];
      case 'test:fail':
        return [this.excuseFailure(event)];
      case 'test:diagnostic':
        return this.correctCount(event);
      default:
        return [event];
    }
  }

  /** Whether the run as a whole failed. */
  failed() {
    return this.failedFiles.size > 0 || this.missing().length > 0;
  }

  find({ name, nesting, file }) {
    const path = [...this.path.slice(0, nesting), name].join(SEPARATOR);
    const wanted = `${relative(this.root, file ?? '')}${SEPARATOR}${path}`;
    return this.entries.find(({ test }) => test === wanted);
  }

  notePass(data) {
    const entry = this.find(data);
    if (entry) this.passed.add(entry);
  }

  excuseFailure(event) {
    const { data } = event;
    // A suite fails by the tests below it, which have been judged already.
    if (data.details.error?.failureType === 'subtestsFailed') {
      return this.failedFiles.has(data.file) ? event : { type: 'test:pass', data };
    }
    const entry = this.find(data);
    if (entry === undefined) {
      this.failedFiles.add(data.file);
      return event;
    }
    this.excused.add(entry);
    // The runner counts a test that ran into its timeout as cancelled.
    this.excusedTests[CANCELLED.includes(data.details.error?.failureType) ? 'cancelled' : 'fail'] +=
      1;
    return { type: 'test:pass', data: { ...data, todo: 'named in KNOWN-RED.txt' } };
  }

  correctCount(event) {
    const { message, nesting } = event.data;
    const [, name, value] = /^(tests|fail|cancelled|todo) (\d+)$/.exec(message) ?? [];
    if (name === undefined || nesting !== 0) return [event];
    const say = (text) => ({ ...event, data: { ...event.data, message: text } });
    const { fail, cancelled } = this.excusedTests;
    switch (name) {
      case 'tests':
        return [...this.lines().map(say), event];
      case 'fail':
        return [say(`fail ${Number(value) - fail}`)];
      case 'cancelled':
        return [say(`cancelled ${Number(value) - cancelled}`)];
      default:
        return [say(`todo ${Number(value) + fail + cancelled}`)];
    }
  }

  missing() {
    return this.entries.filter((entry) => !this.excused.has(entry) && !this.passed.has(entry));
  }

  lines() {
    return [
      ...[...this.excused].map(({ test, issue }) => `known red: ${test} (issue ${issue})`),
      ...[...this.passed].map(({ test }) => `known red, but it passed: ${test}`),
      ...this.missing().map(({ test }) => `KNOWN-RED.txt names a test that isn't there: ${test}`),
    ];
  }
}
