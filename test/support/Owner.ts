/** Owns what is started for a test or a longer run, and releases it at the end. */
export interface Owner {
  after(release: () => void | Promise<void>): void;
}
