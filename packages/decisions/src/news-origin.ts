/** Whether news is of this instance or was reported by another one. */
export type NewsOrigin = 'own' | 'reported';
